// Package labplatformcontrol implements a control instance for deployments in which the platform delivers the whole
// configuration document, members announce themselves, and the platform promotes members when the leader of the control
// group requests it. The control instances form their group from seed addresses alone and replace lost instances
// without an operator. Seeds are the process addresses of some control instances, which are listed in the settings of
// every instance. A watch is the request by which a proxy reports to the leader and waits for changes of members,
// proxies or the configuration.
package labplatformcontrol
