"""Waiting: admits new jobs and queues their tasks until a slot is granted."""
