"""The decisions of a co-ordinator, a module a concern: standard library only, no I/O."""
