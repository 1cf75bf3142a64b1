#!/bin/sh
# Builds the stand-ins of the third review's scripts, after the build of the
# deploy file, which has configured target/.
set -eu
cd "$(dirname "$0")/.."
[ -f target/CMakeCache.txt ] ||
    cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j4 --target chestnutgapd platform_standin >/dev/null
out=target/review-3
mkdir -p "$out"
libs="target/platform/test/libplatform_standin.a
$(find target -name 'libcg_*.a')"
for source in review/standin3/*.cc; do
    # shellcheck disable=SC2046,SC2086
    g++ -std=c++17 -O1 -g -Wall -Wextra -Wno-missing-field-initializers \
        -D_GNU_SOURCE -DCHESTNUTGAP_VERSION='"review"' \
        -I. -Ipackages -Iplatform/test \
        $(pkg-config --cflags libevent libtirpc jansson libxxhash) \
        "$source" \
        -Wl,--start-group $libs -Wl,--end-group \
        $(pkg-config --libs libevent libevent_pthreads libtirpc jansson \
            libxxhash) -levhtp -lssl -lcrypto -lgtest -lpthread -lm \
        -o "$out/$(basename "$source" .cc)"
done
