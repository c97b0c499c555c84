"""Scenarios played on sockets, experiments, and the figures of them."""
