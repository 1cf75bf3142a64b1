/**
 * @file
 * Command line of chestnutgapctl.
 */
#ifndef CHESTNUTGAP_CTL_CTLMAIN_H
#define CHESTNUTGAP_CTL_CTLMAIN_H

/** Runs the command that the arguments name. @return the exit code */
int ctl_main(int argc, char **argv);

#endif
