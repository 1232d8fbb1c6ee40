"""The command-line program berylctl."""
