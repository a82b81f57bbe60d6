"""Names that both ends of a call share."""

SERVICE_NAME = "replica"
