// Package route decides where a request runs. It selects the side by the row's weights, and the runner by cached state,
// queue wait and import time under the row's objective.
package route
