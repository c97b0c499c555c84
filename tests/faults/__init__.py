"""The fault rig: runs real nodes over loopback, injects faults around them, and checks the recorded traffic."""
