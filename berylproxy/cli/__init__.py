"""The program berylctl."""
