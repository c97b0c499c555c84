"""gingervane: decisions of a co-ordinator of queries over replicated shards."""

from gingervane.policy import Coordinator

__all__ = ["Coordinator"]
