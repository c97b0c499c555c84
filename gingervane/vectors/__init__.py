"""The vector search front: the published REST API of Qdrant over shards held by several replicas."""
