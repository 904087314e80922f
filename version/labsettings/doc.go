// Package labsettings decodes the JSON settings of a process or a deployment and checks all of them before the process
// starts. Each error names the file, the line, the column and the accepted values.
package labsettings
