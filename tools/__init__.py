"""Development tools: the test runner and the demonstration."""
