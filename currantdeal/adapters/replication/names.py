"""Service names that the client and the server of a call share."""

SERVICE_NAME = "replica"
