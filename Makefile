BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all build deps test check-format lint unit sanitize demo bench soak clean

all: build

deps:
	@sh .ci/deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

check-format:
	@sh .ci/check-format

lint: build
	@sh .ci/lint $(BUILD)

unit: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

sanitize: deps
	@cmake -S . -B $(BUILD)-sanitize -G Ninja -DCHESTNUTGAP_SANITIZE=ON \
	  >/dev/null
	@cmake --build $(BUILD)-sanitize -j $(JOBS)
	@ctest --test-dir $(BUILD)-sanitize --output-on-failure -j 4

test: check-format build lint unit sanitize

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize
