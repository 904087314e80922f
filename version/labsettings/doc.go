// Package labsettings reads the JSON settings of a process or deployment and checks them in full before anything
// starts; each error names file, line, column and the accepted values.
package labsettings
