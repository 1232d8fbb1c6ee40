"""Re-exports the cluster of real processes for the steps."""

from standins.cluster import SERVICE, Cluster, EndpointPlan

__all__ = ["SERVICE", "Cluster", "EndpointPlan"]
