// Command laburnumlock-control runs a control instance.
package main
