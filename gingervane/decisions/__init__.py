"""Decision logic of a co-ordinator, one module per concern: no I/O, standard library only."""
