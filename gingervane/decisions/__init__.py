"""Every decision of a co-ordinator: standard library only, no I/O."""
