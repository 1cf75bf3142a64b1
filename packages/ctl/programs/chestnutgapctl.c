/**
 * @file
 * Command line client for operators of chestnutgap.
 */
#include <signal.h>

#include "ctl/ctlmain.h"

int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    return ctl_main(argc, argv);
}
