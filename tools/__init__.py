"""Development tools: test runner, demonstration, benchmarks and fault tests."""
