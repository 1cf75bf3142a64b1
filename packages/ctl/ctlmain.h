/**
 * @file
 * Command line of chestnutgapctl.
 */
#ifndef CHESTNUTGAP_CTL_CTLMAIN_H
#define CHESTNUTGAP_CTL_CTLMAIN_H

/** Runs the command named in argv. @return the exit code */
int ctl_main(int argc, char **argv);

#endif
