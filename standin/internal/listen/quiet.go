package listen

import "github.com/cloudwego/hertz/pkg/common/hlog"

// init silences the HTTP library's own log: cut connections are part of what
// the stand-ins do.
func init() { hlog.SetLevel(hlog.LevelFatal) }
