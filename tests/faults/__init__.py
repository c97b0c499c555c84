"""The fault rig: real nodes over loopback, faults between them and their peers, and a judge of what passed."""
