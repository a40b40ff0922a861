"""Platform configuration, settings and operator file: read, checked and defaulted here."""
