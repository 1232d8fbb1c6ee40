"""The program berylproxyd: command line, wiring of the components and shutdown."""
