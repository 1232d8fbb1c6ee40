Feature: The HTTP port serves TLS by settings

  Scenario: A caller that knows the certificate is served, a plain one is not
    Given a daemon with a certificate made for this test
    Then a caller that trusts the certificate can read /healthz
    And a caller that does not trust the certificate gets no connection
    And a plain HTTP caller gets no HTTP answer
