package listen

import "github.com/cloudwego/hertz/pkg/common/hlog"

// init turns off the HTTP library's own log, because stand-ins abort connections on
// purpose.
func init() { hlog.SetLevel(hlog.LevelFatal) }
