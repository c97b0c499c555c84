"""The platform's way in and out of the co-ordinator: its configuration, clients, replicas, discovery and peers."""
