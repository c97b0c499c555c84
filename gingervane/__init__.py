"""Decision engine of a co-ordinator that sends queries to replicated shards."""

from gingervane.decisions.engine import DecisionEngine

__all__ = ["DecisionEngine"]
