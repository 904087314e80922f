// Command laburnumlock-control is a control instance.
package main
