/* Runs the archive that is appended to this executable, with the interpreter that is
 * linked into it. */

#include <Python.h>
#include <dlfcn.h>
#include <limits.h>
#include <unistd.h>

/* Loads a shared library, so that the dynamic loader finds it by its name when an
 * extension module needs it. */
static PyObject *load_library(PyObject *self, PyObject *args)
{
    const char *path;
    if (!PyArg_ParseTuple(args, "s", &path))
        return NULL;
    if (dlopen(path, RTLD_NOW | RTLD_LOCAL) == NULL) {
        PyErr_SetString(PyExc_ImportError, dlerror());
        return NULL;
    }
    Py_RETURN_NONE;
}

static PyMethodDef methods[] = {
    {"load_library", load_library, METH_VARARGS, NULL},
    {NULL, NULL, 0, NULL},
};

static PyModuleDef definition = {
    PyModuleDef_HEAD_INIT, "_launcher", NULL, 0, methods,
};

static PyObject *init_launcher(void)
{
    return PyModule_Create(&definition);
}

static int fail(PyStatus status, PyConfig *config)
{
    PyConfig_Clear(config);
    Py_ExitStatusException(status);
    return 1;
}

int main(int argc, char **argv)
{
    char path[PATH_MAX];
    ssize_t length = readlink("/proc/self/exe", path, sizeof path - 1);
    if (length < 0) {
        perror("/proc/self/exe");
        return 1;
    }
    path[length] = '\0';

    PyPreConfig preconfig;
    PyConfig config;
    PyStatus status;
    PyPreConfig_InitIsolatedConfig(&preconfig);
    preconfig.utf8_mode = 1;
    status = Py_PreInitialize(&preconfig);
    PyConfig_InitIsolatedConfig(&config);
    if (PyStatus_Exception(status))
        return fail(status, &config);
    if (PyImport_AppendInittab("_launcher", init_launcher) != 0)
        return 1;

    wchar_t *self = Py_DecodeLocale(path, NULL);
    if (self == NULL)
        return 1;
    /* SIGINT raises KeyboardInterrupt and SIGPIPE is ignored, as in any Python
     * program. */
    config.install_signal_handlers = 1;
    config.site_import = 0;
    config.write_bytecode = 0;
    config.module_search_paths_set = 1;
    status = PyWideStringList_Append(&config.module_search_paths, self);
    if (!PyStatus_Exception(status))
        status = PyConfig_SetString(&config, &config.executable, self);
    if (!PyStatus_Exception(status))
        status = PyConfig_SetString(&config, &config.prefix, L"");
    if (!PyStatus_Exception(status))
        status = PyConfig_SetString(&config, &config.exec_prefix, L"");
    /* Runs the __main__ module of the archive. */
    if (!PyStatus_Exception(status))
        status = PyConfig_SetString(&config, &config.run_filename, self);
    if (!PyStatus_Exception(status))
        status = PyConfig_SetBytesArgv(&config, argc, argv);
    if (!PyStatus_Exception(status))
        status = Py_InitializeFromConfig(&config);
    if (PyStatus_Exception(status))
        return fail(status, &config);
    PyConfig_Clear(&config);
    return Py_RunMain();
}
