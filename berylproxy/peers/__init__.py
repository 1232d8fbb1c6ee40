"""Message streams between daemons, and the cluster membership maintained over them."""
