Feature: The HTTP server of daemons on small VMs

  Scenario: requests on one connection are answered in their order
    Given an HTTP server with an application that echoes bodies
    When a caller sends three requests at once on one connection
    Then the caller receives the three bodies in order

  Scenario: a body in chunks, with Expect, is received whole
    Given an HTTP server with an application that echoes bodies
    When a caller sends a chunked body after "100 Continue"
    Then the caller receives the body whole

  Scenario: a body whose end is parsed while the application reads is received whole
    When a body of 200000 bytes reaches a connection in one read
    Then the application receives 200000 bytes

  Scenario Outline: input that is no HTTP/1.1 request
    Given an HTTP server with an application that echoes bodies
    When a caller sends <input>
    Then the caller receives status <status> and the end of the connection

    Examples:
      | input             | status |
      | bytes of any kind | 400    |
      | an endless head   | 431    |

  Scenario Outline: what follows a request can't harm its response
    Given an HTTP server with an application that waits for a permit
    When a caller sends <request>
    And the permit is given
    Then the caller receives status 200 and the end of the connection

    Examples:
      | request                                |
      | a request and then bytes of any kind   |
      | a request to switch to another protocol |

  Scenario: a body that turns malformed ends its request
    Given an HTTP server with an application that waits for the disconnection
    When a caller sends a request whose second chunk has no size
    Then the application's request ends

  Scenario: an application that fails is answered for, and the server goes on
    Given an HTTP server with an application that fails
    When a caller sends a request
    Then the caller receives status 500 and the end of the connection
    And another caller receives status 500 and the end of the connection

  Scenario: the application hears that its caller has disconnected
    Given an HTTP server with an application that waits for the disconnection
    When a caller sends a request and disconnects
    Then the application's request ends

  Scenario: a response before the end of the body reaches a caller that sends on
    Given an HTTP server with an application that answers before the body
    When a caller sends a request with a body of 4000000 bytes
    Then the caller receives status 413 and the end of the connection

  Scenario: a response before the end of the body says that the connection closes
    Given an HTTP server with an application that answers before the body
    When a caller sends the head of a request with a body
    Then the response with status 413 says that the connection closes

  Scenario: a caller that doesn't read makes the response wait
    Given an HTTP server with an application that sends 40 parts of a million bytes
    When a caller sends a request and reads nothing
    Then the application has not sent all parts
    And the caller then receives 40000000 bytes in chunks

  Scenario: a response to HEAD and to HTTP/1.0
    Given an HTTP server with an application that echoes bodies
    When a caller sends a HEAD request and then one of HTTP/1.0
    Then the first response has no body, and the connection ends after the second

  Scenario: requests in progress end before the server does
    Given an HTTP server with an application that waits for a permit
    When a caller sends a request
    And the server is stopped, then the permit is given
    Then the caller receives status 200 and the end of the connection
    And the server says that all requests were answered

  Scenario: a request that outlasts the end of the server is cut off
    Given an HTTP server with an application that waits for a permit
    When a caller sends a request
    And the server is stopped
    Then the caller receives the end of the connection
    And the server says that not all requests were answered

  Scenario: idle connections are closed
    Given an HTTP server with an application that echoes bodies that closes idle connections
    When a caller connects and sends nothing
    Then the caller receives the end of the connection

  Scenario Outline: beyond the memory for requests, the one that has been on its way for longest is refused
    Given an HTTP server that echoes bodies, with 20000 bytes for requests
    When two callers, one after the other, each send 15000 bytes of a <part>
    Then the first caller is told to come back, and its connection ends
    And the second caller is answered once its <part> is complete

    Examples:
      | part |
      | head |
      | body |

  Scenario: requests that are being served count with their targets
    Given an HTTP server that waits for a permit, with 20000 bytes for requests
    When two callers, one after the other, send whole requests with a query of 15000 bytes
    Then the second caller is told to come back
    And the first caller is answered once the permit is given

  Scenario: beyond the limit of connections, one that never sent a request is cut off first
    Given an HTTP server that echoes bodies, with 2 connections
    When a caller is answered, and then two callers connect
    Then the connection of the second caller ends
    And the first and the third caller are answered

  Scenario: beyond the limit of connections, a caller that doesn't read is cut off before a new one is turned away
    Given an HTTP server that sends 40 parts of a million bytes, with 2 connections
    When two callers send a request and read nothing
    Then a third caller is answered

  Scenario: a caller that reads nothing for as long as a connection may be idle is cut off
    Given an HTTP server with an application that sends 40 parts of a million bytes that closes idle connections
    When a caller sends a request and reads nothing
    Then the application's request ends

  # Guards against TLS buffers of dropped connections that stay until the garbage collector's next
  # full run, and outgrow the daemon's memory.
  Scenario: connections that are dropped within their TLS handshake leave nothing behind
    Given a TLS server of 4 connections at most, without garbage collection
    When 40 callers connect and send nothing
    Then the server comes to hold the TLS buffers of 4 connections
