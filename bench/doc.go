// Command laburnumbench measures the system against stand-in upstreams.
package main
