"""What each owner's endpoints have done, for billing."""
