"""gingervane: decisions of a co-ordinator of queries over replicated shards."""

from gingervane.decisions.engine import DecisionEngine

__all__ = ["DecisionEngine"]
