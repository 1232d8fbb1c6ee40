"""Configuration records: schemas, validation, replication and the view in force."""
