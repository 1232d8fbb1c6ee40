"""Runs the platform's daemons as processes under random faults and judges what was seen."""
