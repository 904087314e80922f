// Package main is the command of its module.
package main
