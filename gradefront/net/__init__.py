"""The platform's protocols on Twisted: client and backend connections, health checks and the endpoint list."""
