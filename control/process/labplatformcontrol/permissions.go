package labplatformcontrol

import "context"

// commitPermissions implements labfailover.CommitPermissions.
type commitPermissions struct{ controller *Controller }

func (commitPermissions) Withdraw(context.Context, string) error { return nil }
