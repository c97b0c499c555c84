"""Runs the real driver and decision engine in simulated time, with modelled nodes, network and clients."""
