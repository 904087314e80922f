// Package labplatformcontrol implements a control instance for deployments in which the platform delivers the whole
// configuration document, members announce themselves, and the platform promotes members when it is called to do so.
// The control instances form their group from seed addresses alone and replace lost instances without an operator.
package labplatformcontrol
