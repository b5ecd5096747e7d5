package org.wisteriahinge.app

/** Exit codes of every command. */
public object ExitCode {
    /** The command did what it was asked for. */
    public const val DONE: Int = 0

    /** The command was refused or failed. */
    public const val FAILED: Int = 1

    /** Wrong usage or bad input. */
    public const val USAGE: Int = 2
}
