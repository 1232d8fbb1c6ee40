"""Client library with which callers submit work and operators administer the daemons."""
