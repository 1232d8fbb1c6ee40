"""Stand-ins, processes and checks that the scripts of this review share."""
