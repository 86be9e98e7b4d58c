"""The platform's wire: clients' lines, backends' lines, health checks and the endpoint list, on Twisted."""
