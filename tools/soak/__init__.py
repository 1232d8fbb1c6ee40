"""Runs the platform's daemons as processes under random faults and checks their guarantees."""
