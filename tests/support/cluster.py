"""The small system of real processes, under the name that the steps import."""

from standins.cluster import SERVICE, Cluster, EndpointPlan

__all__ = ["SERVICE", "Cluster", "EndpointPlan"]
