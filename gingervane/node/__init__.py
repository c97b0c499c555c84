"""The co-ordinator on the platform: configuration, clients, replicas, discovery and peers."""
