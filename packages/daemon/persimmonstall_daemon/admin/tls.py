"""TLS credentials of the admin port; each new connection uses the current certificate file."""

import grpc

from ..watched_file import WatchedFile


class Certificates:
    """Watches the files of the certificate and private key in the settings."""

    def __init__(self, settings):
        self.certificate = WatchedFile(settings.security.certificate)
        self.private_key = WatchedFile(settings.security.private_key)

    def configuration(self):
        """Return the current TLS configuration for new connections."""
        pair = (self.private_key.content, self.certificate.content)
        return grpc.ssl_server_certificate_configuration([pair])

    def fetch(self):
        """Return a new configuration if a file changed, otherwise None.

        gRPC calls this for each new connection.
        """
        changed = [self.certificate.refresh(), self.private_key.refresh()]
        return self.configuration() if any(changed) else None

    def credentials(self):
        """Return the server credentials; raise OSError if a file cannot be read."""
        self.fetch()
        for file in (self.certificate, self.private_key):
            if file.content is None:
                raise OSError(f"{file.path} cannot be read")
        return grpc.dynamic_ssl_server_credentials(self.configuration(), self.fetch)


def bind(server, settings):
    """Bind the admin address and return the port; plaintext if no certificate is set."""
    address = settings.daemon.admin
    if not settings.security.certificate:
        return server.add_insecure_port(address)
    return server.add_secure_port(address, Certificates(settings).credentials())
