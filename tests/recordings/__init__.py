"""Recordings of the decision module's answers to simulated hosts, and what makes and replays them."""
