Feature: Wrong settings end the daemon before it serves

  Scenario: All problems are listed at once
    When a daemon starts on non-loopback addresses with a wrong name, a short key and no files for TLS
    Then it exits with status 3 and reports problems of "daemon_id, peer_keys, tls_certificate, http_address"
    And its output does not show the short key

  Scenario: Without tokens and keys only loopback addresses are served
    When a daemon starts on non-loopback addresses without tokens and keys
    Then it exits with status 3 and reports problems of "http_address, peer_address"
