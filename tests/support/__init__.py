"""Small fakes at the interfaces, shared by the steps."""
