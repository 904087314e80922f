// Command laburnumbench measures the system against stand-in servers.
package main
