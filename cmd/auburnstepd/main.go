// Command auburnstepd is the daemon that runs on each instance.
package main

func main() {}
