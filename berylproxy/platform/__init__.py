"""The users' platform: its names and protocols are decoded here and nowhere else."""
