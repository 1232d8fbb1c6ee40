"""The program berylproxyd: settings, wiring and shutdown."""
